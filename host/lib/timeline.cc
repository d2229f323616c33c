// Records the events of the timeline in a ring buffer.
#include "berylreach/host/timeline.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace berylreach::host {

Timeline::Timeline(std::size_t capacity, const base::Clock& clock)
    : clock_(clock), events_(capacity) {}

model::TimelineEvent Timeline::Record(std::string type, std::string subject,
                                      std::string detail) {
  const std::lock_guard<std::mutex> lock(mutex_);
  model::TimelineEvent event{++last_sequence_, clock_.WallNow(),
                             std::move(type), std::move(subject),
                             std::move(detail)};
  events_.push_back(event);
  return event;
}

std::vector<model::TimelineEvent> Timeline::After(
    std::uint64_t sequence) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<model::TimelineEvent> found;
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(found),
               [&](const model::TimelineEvent& event) {
                 return event.sequence > sequence;
               });
  return found;
}

}  // namespace berylreach::host

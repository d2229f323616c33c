// HTTP server of a process that runs one or more leaf stand-ins.
#include "berylreach/standins/leaf.h"

#include <boost/json.hpp>
#include <random>
#include <utility>

namespace berylreach::standins {
namespace {

std::uint64_t RandomIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

}  // namespace

LeafProcess::LeafProcess(std::vector<LeafOptions> leaves)
    : leaves_(std::move(leaves)),
      incarnation_(RandomIncarnation()),
      models_(leaves_.size()) {}

std::string LeafProcess::StartAll() {
  std::vector<std::string> requested;
  for (const LeafOptions& leaf : leaves_) requested.push_back(leaf.address);
  return Start(std::move(requested));
}

LeafModel& LeafProcess::ModelOf(const transport::HttpRequest& request) {
  auto& model = models_[request.listener];
  if (!model)
    model = std::make_unique<LeafModel>(server(), leaves_[request.listener],
                                        incarnation_ + request.listener);
  return *model;
}

void LeafProcess::Serve(const transport::HttpRequest& request) {
  ModelOf(request).Serve(request);
}

void LeafProcess::Control(const transport::HttpRequest& request,
                          const boost::json::object& fields) {
  ModelOf(request).Control(request, fields);
}

boost::json::object LeafProcess::Counters(
    const transport::HttpRequest& request) {
  return ModelOf(request).Counters();
}

void LeafProcess::OnClientDisconnected(transport::HttpToken token) {
  for (const auto& model : models_)
    if (model) model->OnClientDisconnected(token);
}

}  // namespace berylreach::standins

// Memory limit for incomplete responses.
#pragma once

#include <cstddef>
#include <unordered_map>

namespace berylreach::base {

/// Limits the bytes of incomplete responses that all connections sharing the
/// quota may hold together, so that peers which send without end do not use up
/// the memory of the process. When it is used up, the largest responses are
/// given up first, so that such peers do not end the responses of others
/// either. Not thread-safe.
class ReceiveQuota {
 public:
  /// Receives a response whose bytes count against the quota.
  class Holder {
   public:
    virtual ~Holder() = default;
    /// Ends the response for lack of room; must call Return.
    virtual void GiveUp() = 0;
  };

  /// `limit` is in bytes.
  explicit ReceiveQuota(std::size_t limit) : available_(limit) {}
  ReceiveQuota(const ReceiveQuota&) = delete;
  ReceiveQuota& operator=(const ReceiveQuota&) = delete;

  /// Reserves `bytes` for the response of `holder`, for which larger responses
  /// are given up if there is no room. Returns false, and reserves nothing, if
  /// there are none. What follows from the end of other responses may end the
  /// response of `holder` too, so the caller must check that it still goes on.
  bool Take(Holder& holder, std::size_t bytes);
  /// Returns all bytes that are reserved for `holder`.
  void Return(Holder& holder);

  /// Number of bytes that are not reserved.
  std::size_t available() const { return available_; }

 private:
  /// Ends the largest response if it is larger than `bytes`; otherwise returns
  /// false.
  bool GiveUpLargest(std::size_t bytes);

  std::size_t available_;
  /// Bytes reserved for each holder that has any.
  std::unordered_map<Holder*, std::size_t> reserved_;
};

}  // namespace berylreach::base

// Which requests count as the same.
#include "berylreach/gateway/request_fingerprint.h"

#include <gtest/gtest.h>

namespace berylreach::gateway {
namespace {

HttpRequest MakeRequest(const std::string& id) {
  HttpRequest request{.method = "POST", .target = "/o/1?x=2", .body = "body"};
  request.fields.Add("Host", "h");
  request.fields.Add("X-Id", id);
  request.fields.Add("X-Wait", id + "00");
  request.fields.Add("X-Caller", "c");
  return request;
}

class RequestFingerprintTest : public testing::Test {
 protected:
  std::uint64_t Of(const HttpRequest& request) const {
    return FingerprintOf(request, names_);
  }

  WireNames names_{
      .request_id = "X-Id", .caller = {"X-Caller"}, .caller_timeout = "X-Wait"};
};

// Guards against attempts of one request that pass for different ones.
TEST_F(RequestFingerprintTest, AttemptsOfOneRequestAreEqual) {
  EXPECT_EQ(Of(MakeRequest("1")), Of(MakeRequest("2")));
}

// Guards against a request that is blocked for what another one did.
TEST_F(RequestFingerprintTest, EachByteOfTheContentCounts) {
  const std::uint64_t base = Of(MakeRequest("1"));
  HttpRequest request = MakeRequest("1");
  request.method = "PUT";
  EXPECT_NE(Of(request), base);
  request = MakeRequest("1");
  request.target = "/o/1?x=3";
  EXPECT_NE(Of(request), base);
  request = MakeRequest("1");
  request.body = "bodz";
  EXPECT_NE(Of(request), base);
  request = MakeRequest("1");
  request.body.clear();
  EXPECT_NE(Of(request), base);
  HttpRequest other_caller{
      .method = "POST", .target = "/o/1?x=2", .body = "body"};
  other_caller.fields.Add("Host", "h");
  other_caller.fields.Add("X-Caller", "d");
  EXPECT_NE(Of(other_caller), base);
}

TEST_F(RequestFingerprintTest, PartsAreKeptApart) {
  HttpRequest one{.method = "GET", .target = "/a"};
  one.fields.Add("Host", "hb");
  HttpRequest other{.method = "GET", .target = "b/a"};
  other.fields.Add("Host", "h");
  EXPECT_NE(Of(one), Of(other));
}

}  // namespace
}  // namespace berylreach::gateway

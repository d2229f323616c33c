// Blocking sockets with which a test acts as the peer of a connection.
#pragma once

#include <string>

namespace berylreach::transport {

/// A connected TCP socket. Reads time out after kConditionLimit.
class TestSocket {
 public:
  TestSocket() = default;
  explicit TestSocket(int fd);
  TestSocket(TestSocket&& other) noexcept;
  TestSocket& operator=(TestSocket&& other) noexcept;
  ~TestSocket();

  /// Connects to an address such as "127.0.0.1:8080".
  static TestSocket Connect(const std::string& address);

  /// Returns false if the peer has closed the connection.
  bool Write(const std::string& bytes) const;
  /// Reads up to and including `end`, or to the end of the stream or a timeout.
  std::string ReadUntil(const std::string& end);
  /// Reads to the end of the stream or a timeout.
  std::string ReadAll() { return ReadUntil(std::string()); }
  /// Reads one HTTP message with a Content-Length or without a body.
  std::string ReadHttp();
  /// Closes the socket; with `reset` the peer receives a TCP reset.
  void Close(bool reset = false);
  bool is_open() const { return fd_ >= 0; }
  /// Whether a read ended because the peer closed the connection, and not
  /// because it timed out.
  bool peer_closed() const { return peer_closed_; }

 private:
  bool ReadMore();

  int fd_ = -1;
  bool peer_closed_ = false;
  /// Bytes that were received and not returned yet.
  std::string pending_;
};

/// A listening TCP socket on a free port of the loopback address.
class TestListener {
 public:
  TestListener();
  ~TestListener();
  TestListener(const TestListener&) = delete;
  TestListener& operator=(const TestListener&) = delete;

  const std::string& address() const { return address_; }
  /// Accepts one connection; the socket is not open if none arrives before the
  /// timeout.
  TestSocket Accept() const;
  /// Closes the listener, so that further connections are refused.
  void Close();

 private:
  int fd_ = -1;
  std::string address_;
};

}  // namespace berylreach::transport

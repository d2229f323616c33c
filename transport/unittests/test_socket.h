// Blocking sockets for scripted peers in tests.
#pragma once

#include <string>

namespace berylreach::transport {

/// A connected TCP socket. Reads give up after the time limit of tests.
class TestSocket {
 public:
  TestSocket() = default;
  explicit TestSocket(int fd);
  TestSocket(TestSocket&& other) noexcept;
  TestSocket& operator=(TestSocket&& other) noexcept;
  ~TestSocket();

  /// Connects to an address such as "127.0.0.1:8080".
  static TestSocket Connect(const std::string& address);

  void Write(const std::string& bytes) const;
  /// Reads until the bytes contain `end`, or to the end of the stream.
  std::string ReadUntil(const std::string& end);
  /// Reads to the end of the stream.
  std::string ReadAll() { return ReadUntil(std::string()); }
  /// Reads one HTTP message with a Content-Length or without a body.
  std::string ReadHttp();
  /// Closes; with `reset` the peer sees a reset.
  void Close(bool reset = false);
  bool is_open() const { return fd_ >= 0; }
  /// A read found that the peer has closed, as opposed to a read that gave up.
  bool peer_closed() const { return peer_closed_; }

 private:
  bool ReadMore();

  int fd_ = -1;
  bool peer_closed_ = false;
  std::string pending_;
};

/// A listening TCP socket on a free port.
class TestListener {
 public:
  TestListener();
  ~TestListener();
  TestListener(const TestListener&) = delete;
  TestListener& operator=(const TestListener&) = delete;

  const std::string& address() const { return address_; }
  TestSocket Accept() const;
  /// Further connections are refused.
  void Close();

 private:
  int fd_ = -1;
  std::string address_;
};

}  // namespace berylreach::transport

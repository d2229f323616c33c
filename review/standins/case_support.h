// What the cases share: the temporary folder, the record and the callers.
#pragma once

#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "event_loop.h"
#include "host.h"

namespace review {

/// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

/// A temporary folder, removed with the object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Writes lines to a file, each with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path)
      : file_(path), start_(Clock::now()) {}

  void Add(const std::string& line);

 private:
  std::ofstream file_;
  Time start_;
};

/// One request of a caller and what became of it.
struct Request {
  std::string id;
  std::string host;
  Time sent;
  /// 0 while there is no answer.
  int status = 0;
  std::string body;
};

/// Sends a request to each host at a fixed interval, each over a new
/// connection and to a path of its own, which begins with `path`.
class Callers {
 public:
  Callers(EventLoop& loop, Record& record,
          const std::vector<std::unique_ptr<Host>>& hosts, std::string path);

  void Start();
  void Stop() { stopped_ = true; }
  const std::vector<std::shared_ptr<Request>>& requests() const {
    return requests_;
  }

 private:
  void SendAll();
  void SendTo(const Host& host);

  EventLoop& loop_;
  Record& record_;
  const std::vector<std::unique_ptr<Host>>& hosts_;
  std::string path_;
  std::vector<std::shared_ptr<Request>> requests_;
  bool stopped_ = false;
};

/// Counts the successes to requests sent from `check_from` on that
/// `old_service` ran, prints them by host and returns the exit status.
int JudgeService(const Callers& callers, Record& record, Time check_from,
                 const std::string& old_service);

/// Whether the environment asks for the run with the disruption.
bool WithTrouble();

/// The main function of a case: runs it with the path of its record as the only
/// argument.
template <typename Case>
int RunCase(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: " << argv[0] << " RECORD\n";
    return kNotRun;
  }
  try {
    return Case(argv[1]).Run();
  } catch (const std::exception& error) {
    std::cerr << "cannot run: " << error.what() << "\n";
    return kNotRun;
  }
}

}  // namespace review

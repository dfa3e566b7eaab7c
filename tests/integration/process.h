#pragma once
/// @file Child processes of integration tests. The programs under test start no processes themselves.

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace crankspur::testing {

/// Child process. The destructor kills it by its process id.
class Process {
public:
  /// Starts a program of the build's bin folder. Its standard error is appended to `log_path`.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for the line "listening PORT ..." on standard output.
  /// @param label the word in front of the port, for example "listening" or "admin".
  std::uint16_t port(const std::string& label);
  /// Sends a signal to the process if it has not been reaped.
  void signal(int number) const;
  /// Kills the process with SIGKILL and reaps it.
  void kill();
  /// Waits until the process exits on its own.
  /// @return its exit status, or -1 if it did not exit within `timeout`.
  int wait(std::chrono::milliseconds timeout);
  bool running();
  const std::string& logPath() const { return log_path_; }

private:
  std::string readyLine();

  pid_t id_ = -1;
  int output_fd_ = -1;
  std::string ready_output_;
  std::string log_path_;
  int status_ = -1;
};

/// Polls `condition` until it is true.
/// @return false if it is not true within `timeout`.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds timeout = std::chrono::seconds(15));

/// Runs a program and waits until it exits.
/// @param output receives its standard output.
/// @return its exit status.
int runProgram(const std::string& program, const std::vector<std::string>& arguments, std::string& output);

/// @return the path of a new temporary folder for the files of one test.
std::string makeScratchFolder();

/// @return the content of a file; empty if it cannot be read.
std::string readText(const std::string& path);

/// Creates or overwrites a file.
void writeText(const std::string& path, const std::string& text);

}  // namespace crankspur::testing

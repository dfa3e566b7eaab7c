#pragma once
/// @file Child processes of integration tests. Only the tests start processes; the programs start none.

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace crankspur::testing {

/// One child process. It is killed, by its own id, when the object goes out of scope.
class Process {
public:
  /// Starts build/bin/PROGRAM with arguments. Standard error goes to `log_path`.
  Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& log_path);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for the line "listening PORT ..." on standard output.
  /// @param word the word before the wanted port, for example "listening" or "admin".
  std::uint16_t port(const std::string& word);
  /// Sends a signal.
  void signal(int number) const;
  /// Kills the process without notice and reaps it.
  void kill();
  /// Waits for the process to end by itself.
  /// @return its exit status, or -1 when it did not end within the limit.
  int wait(std::chrono::milliseconds limit);
  bool running();
  const std::string& logPath() const { return log_path_; }

private:
  std::string readyLine();

  pid_t id_ = -1;
  int output_ = -1;
  std::string line_;
  std::string log_path_;
  int status_ = -1;
};

/// Polls `condition` until it holds.
/// @return false when it does not hold within the limit.
bool eventually(const std::function<bool()>& condition,
                std::chrono::milliseconds limit = std::chrono::seconds(15));

/// Runs a program to its end.
/// @return its exit status; its standard output is stored in `output`.
int runProgram(const std::string& program, const std::vector<std::string>& arguments, std::string& output);

/// @return a new folder for the files of one test.
std::string makeScratchFolder();

/// @return the content of a file; empty when it cannot be read.
std::string readText(const std::string& path);

/// Writes a file.
void writeText(const std::string& path, const std::string& text);

}  // namespace crankspur::testing

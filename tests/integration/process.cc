#include "integration/process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace crankspur::testing {

namespace {

constexpr std::chrono::seconds kReadyTimeout{20};
constexpr std::chrono::milliseconds kPollInterval{20};

struct SpawnedProcess {
  pid_t id;
  int output;
};

SpawnedProcess spawn(const std::string& program, const std::vector<std::string>& arguments,
                     const std::string& log_path) {
  const std::string path = std::string(CRANKSPUR_BIN_DIR) + "/" + program;
  std::vector<char*> argv{const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  int pipe_fds[2];
  if (pipe2(pipe_fds, O_CLOEXEC) != 0) throw std::runtime_error("pipe failed");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
  posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  pid_t id = -1;
  const int error = posix_spawn(&id, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_fds[1]);
  if (error != 0) throw std::runtime_error("cannot start " + path);
  return {id, pipe_fds[0]};
}

}  // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments,
                 const std::string& log_path)
    : log_path_(log_path) {
  const SpawnedProcess child = spawn(program, arguments, log_path);
  id_ = child.id;
  output_fd_ = child.output;
}

Process::~Process() {
  kill();
  close(output_fd_);
}

std::string Process::readyLine() {
  const auto deadline = std::chrono::steady_clock::now() + kReadyTimeout;
  while (ready_output_.find('\n') == std::string::npos) {
    pollfd descriptor{output_fd_, POLLIN, 0};
    poll(&descriptor, 1, static_cast<int>(kPollInterval.count()));
    char buffer[512];
    const ssize_t count = (descriptor.revents & POLLIN) != 0 ? read(output_fd_, buffer, sizeof(buffer)) : -1;
    if (count > 0) ready_output_.append(buffer, static_cast<std::size_t>(count));
    const bool exited = !running();
    if (count <= 0 && (exited || std::chrono::steady_clock::now() > deadline)) {
      throw std::runtime_error("no ready line; log: " + readText(log_path_));
    }
  }
  return ready_output_.substr(0, ready_output_.find('\n'));
}

std::uint16_t Process::port(const std::string& label) {
  std::istringstream words(readyLine());
  std::string word;
  while (words >> word) {
    int number = 0;
    if (word == label && words >> number) return static_cast<std::uint16_t>(number);
  }
  throw std::runtime_error("ready line lacks '" + label + "': " + ready_output_);
}

void Process::signal(int number) const {
  if (id_ > 0) ::kill(id_, number);
}

bool Process::running() {
  if (id_ <= 0) return false;
  int status = 0;
  if (waitpid(id_, &status, WNOHANG) != id_) return true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  id_ = -1;
  return false;
}

void Process::kill() {
  if (!running()) return;
  ::kill(id_, SIGKILL);
  ::kill(id_, SIGCONT);
  int status = 0;
  waitpid(id_, &status, 0);
  id_ = -1;
}

int Process::wait(std::chrono::milliseconds timeout) {
  const bool exited = eventually([this] { return !running(); }, timeout);
  return exited ? status_ : -1;
}

bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

int runProgram(const std::string& program, const std::vector<std::string>& arguments, std::string& output) {
  const SpawnedProcess child = spawn(program, arguments, "/dev/null");
  char buffer[4096];
  for (ssize_t count = 1; count > 0;) {
    count = read(child.output, buffer, sizeof(buffer));
    if (count > 0) output.append(buffer, static_cast<std::size_t>(count));
  }
  close(child.output);
  int status = 0;
  waitpid(child.id, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string makeScratchFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "crankspur-test-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("mkdtemp failed");
  return pattern;
}

std::string readText(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

void writeText(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
}

}  // namespace crankspur::testing

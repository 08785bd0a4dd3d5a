#include "ChildProcess.h"
#include <csignal>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>

using namespace bluebellkeel;

child_process::child_process(const std::vector<std::string> &Command) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const auto &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  char *const Environment[] = {nullptr};
  if (posix_spawn(&Pid, Arguments[0], nullptr, nullptr, Arguments.data(),
                  Environment) != 0)
    throw std::runtime_error("cannot start " + Command[0]);
}

child_process::~child_process() { kill(); }

void child_process::signal(int Signal) const {
  if (Pid > 0)
    ::kill(Pid, Signal);
}

void child_process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  wait();
}

int child_process::wait() {
  if (Pid <= 0)
    return -1;
  int Status = 0;
  waitpid(Pid, &Status, 0);
  Pid = -1;
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -1;
}

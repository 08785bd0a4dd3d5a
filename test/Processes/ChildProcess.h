#ifndef TEST_PROCESSES_CHILDPROCESS_H
#define TEST_PROCESSES_CHILDPROCESS_H

#include <string>
#include <sys/types.h>
#include <vector>

namespace bluebellkeel {

/// A process that a test started; it is killed with the test at the latest.
class child_process {
public:
  explicit child_process(const std::vector<std::string> &Command);
  /// With variables NAME=VALUE, and its output in a file if one is named.
  child_process(const std::vector<std::string> &Command,
                const std::vector<std::string> &Variables,
                const std::string &OutputFile);
  child_process(const child_process &) = delete;
  child_process &operator=(const child_process &) = delete;
  ~child_process();

  void signal(int Signal) const;
  /// Kills it at once and waits for its end.
  void kill();
  /// Waits for its end and returns its exit code; -1 after a signal.
  int wait();
  /// True once it has ended by itself; wait() then tells how.
  bool ended() const;

private:
  pid_t Pid = -1;
};

} // namespace bluebellkeel

#endif // TEST_PROCESSES_CHILDPROCESS_H

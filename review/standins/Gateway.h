#ifndef REVIEW_STANDINS_GATEWAY_H
#define REVIEW_STANDINS_GATEWAY_H

#include "Record.h"
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace review {

/// One gateway process, started with the command of the deploy file and with
/// the settings of a small deployment.
class gateway {
public:
  /// \param Folder folder for its settings file and its log.
  gateway(std::string Folder, std::string Name, std::string StoreAddress,
          unsigned MemoryMb);
  gateway(const gateway &) = delete;
  gateway &operator=(const gateway &) = delete;
  /// Kills the process if it still runs.
  ~gateway();

  void start();
  /// Waits until the gateway says that it is ready.
  bool awaitReady(milliseconds Limit) const;
  void signal(int Number) const;
  /// True once the process has ended.
  bool ended();
  /// Resident memory in bytes; empty if the process has ended.
  std::optional<std::size_t> residentBytes() const;

  std::uint16_t callerPort() const { return CallerPort; }
  std::uint16_t directoryPort() const { return DirectoryPort; }
  pid_t pid() const { return Pid; }

private:
  std::string settings() const;

  std::string Folder;
  std::string Name;
  std::string StoreAddress;
  unsigned MemoryMb;
  std::uint16_t CallerPort;
  std::uint16_t ReadyPort;
  std::uint16_t DirectoryPort;
  std::uint16_t PeerPort;
  std::uint16_t MetricsPort;
  pid_t Pid = -1;
  bool Reaped = false;
};

} // namespace review

#endif // REVIEW_STANDINS_GATEWAY_H

#ifndef TEST_SOAK_SOAKENVIRONMENT_H
#define TEST_SOAK_SOAKENVIRONMENT_H

#include "FaultProxy.h"
#include "Processes/ChildProcess.h"
#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Http/HttpClient.h"
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace bluebellkeel {

/// The system's processes and the stand-ins around them, on a loopback address
/// of their own. Gateways reach the store, and runners, through proxies.
class soak_environment {
public:
  static constexpr int Gateways = 4;
  static constexpr int Runners = 4;

  /// \param Folder for settings, logs and the ledger of runs; exists.
  /// \param Program the gateway's.
  soak_environment(std::uint64_t Seed, std::string Folder, std::string Program,
                   thread_pool &Pool);

  /// Waits until all gateways are ready; false when they are not in time.
  bool start();

  network_address gateway(int Index) const { return address(100 + 10 * Index); }
  /// Counts the starts of a gateway.
  int incarnation(int Index) const { return Incarnations.at(index(Index)); }
  bool ready(int Index);

  void startGateway(int Index);
  void signalGateway(int Index, int Signal);
  void killGateway(int Index);
  /// Its exit code, once it has ended.
  int waitForGateway(int Index);
  bool gatewayEnded(int Index) const;

  void startRunner(int Index);
  void signalRunner(int Index, int Signal);
  void killRunner(int Index);

  void signalStore(int Signal) { Store->signal(Signal); }

  void setStoreLink(int Gateway, link_mode Mode);
  void setRunnerLink(int Runner, link_mode Mode);

  /// Writes a configuration; false when the store did not confirm it.
  bool configure(int Version);
  /// How often the runners began each request.
  std::map<std::string, int> runs() const;

private:
  static std::size_t index(int Index) {
    return static_cast<std::size_t>(Index);
  }
  network_address address(int Port) const;
  std::string writeSettings(int Index) const;
  bool put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  void list(int Runner);

  const std::string Folder;
  const std::string Program;
  const std::string Host;
  thread_pool &Pool;
  http_client Client{http_timeouts(seconds(1), seconds(2), seconds(2))};
  std::unique_ptr<child_process> Store;
  std::array<std::unique_ptr<child_process>, Gateways> GatewayProcesses;
  std::array<std::unique_ptr<child_process>, Runners> RunnerProcesses;
  std::array<std::unique_ptr<fault_proxy>, Gateways> StoreLinks;
  std::array<std::unique_ptr<fault_proxy>, Runners> RunnerLinks;
  std::array<std::atomic<int>, Gateways> Incarnations = {};
  int LastListing = 0;
};

} // namespace bluebellkeel

#endif // TEST_SOAK_SOAKENVIRONMENT_H

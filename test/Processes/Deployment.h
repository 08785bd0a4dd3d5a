#ifndef TEST_PROCESSES_DEPLOYMENT_H
#define TEST_PROCESSES_DEPLOYMENT_H

#include "Caller.h"
#include "ChildProcess.h"
#include "bluebellkeel/Http/HttpClient.h"
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace bluebellkeel {

/// Fixture that starts three instances in three data centres with stand-ins for
/// the log, the list, four engines of two versions and two processes of an
/// order desk. Tests check only what callers and stand-ins observe.
class deployment : public testing::Test {
protected:
  static constexpr int InstanceCount = 3;
  static constexpr int EngineCount = 4;
  static constexpr int ServiceCount = 2;
  static constexpr const char *ApiKey = "cobbler-key-0123456789";
  static constexpr const char *CatalogKey = "catalog-team-key-0123";
  static constexpr const char *PlatformKey = "platform-team-key-0123";

  void SetUp() override;
  void TearDown() override;

  /// Starts instance \p Index. With an unused \p LogAddress, the instance
  /// cannot reach the log.
  void startInstance(int Index);
  void startInstance(int Index, const network_address &LogAddress);
  void killInstance(int Index) { Instances[Index].reset(); }

  static network_address log() { return address(0); }
  static network_address list() { return address(1); }
  static network_address instance(int Index) { return address(10 + Index); }
  static network_address engine(int Index) { return address(30 + Index); }
  static network_address service(int Index) { return address(50 + Index); }
  static network_address unusedAddress() { return address(99); }

  /// Sets fault switches of a stand-in.
  void set(const network_address &Standin, const nlohmann::json &Switches);
  /// get() and post() send \p Key as the bearer token unless it is empty. They
  /// return the response body; an empty object if there is no response or its
  /// body is not JSON.
  nlohmann::json get(const network_address &Address, const std::string &Path,
                     const std::string &Key = "");
  nlohmann::json post(const network_address &Address, const std::string &Path,
                      const nlohmann::json &Body, const std::string &Key = "");
  /// Returns the status of a GET request; 0 if there is no response.
  int statusOf(const network_address &Address, const std::string &Path);

  /// Submits a settings change with the team's key and returns the response,
  /// which contains the verdict. The base is the current revision; an empty
  /// \p Id is replaced by a new one.
  nlohmann::json change(const std::string &Key, int Instance,
                        const nlohmann::json &Values,
                        const std::string &Id = "");

  /// Puts engine \p Index into the platform's list, in state \p State.
  void listEngine(int Index, const std::string &State);

  bool ready(int Index) { return statusOf(instance(Index), "/readyz") == 200; }
  /// Waits until \p Condition holds; returns false on timeout.
  static bool waitFor(const std::function<bool()> &Condition,
                      milliseconds Timeout);
  static void sleepFor(milliseconds Time);

  /// Returns a caller that knows only instance \p Index at first, and may be
  /// directed to others; callerOfAll() returns one that knows all instances.
  static caller callerOf(int Index) {
    return caller({instance(Index)}, ApiKey);
  }
  /// Returns a caller that sends every request to instance \p Index.
  static caller directCallerOf(int Index) {
    caller Caller = callerOf(Index);
    Caller.skipDiscovery();
    return Caller;
  }
  static caller callerOfAll();

  /// Sends a chat to one instance, without discovery or retries.
  request_result sendChat(int Instance, const std::string &Id);

  /// Sends an order with \p Ticket to one instance, without discovery or
  /// retries.
  request_result sendOrder(int Instance, const std::string &Ticket,
                           const std::string &Id, int Attempt);
  /// Returns a new ticket; empty if none was issued.
  std::string requestTicket(int Instance);
  /// Returns how often the order desk ran \p Id, summed over its processes.
  std::uint64_t runsOf(const std::string &Id);
  /// Returns the number of distinct bills in the log by request id.
  std::map<std::string, int> billCounts();
  /// Returns the sum of a field of /stats over all engines.
  std::uint64_t sumEngineStatistic(const std::string &Statistic);

  std::map<int, std::unique_ptr<child_process>> Instances;
  std::map<int, std::unique_ptr<child_process>> Engines;
  std::map<int, std::unique_ptr<child_process>> Services;
  std::unique_ptr<child_process> Log;
  std::unique_ptr<child_process> List;

private:
  static constexpr std::uint16_t FirstPort = 22100;

  static network_address address(int Offset);
  void startStandins();
  void putSettings();
  std::string writeSettings(int Index, const network_address &LogAddress);
  std::string logFile(int Index) const;
  /// Prints the logs of all instances, to trace a failure.
  void printLogs() const;

  http_client Client{http_timeouts(seconds(1), seconds(20), seconds(20))};
  std::string Folder;
};

} // namespace bluebellkeel

#endif // TEST_PROCESSES_DEPLOYMENT_H

#ifndef REVIEW_STANDINS_3_PLATFORM_H
#define REVIEW_STANDINS_3_PLATFORM_H

#include "Net.h"
#include <condition_variable>
#include <fstream>
#include <sys/types.h>

namespace review {

/// Writes lines with the time since its start to record.txt.
class record {
public:
  explicit record(const std::string &Path) : File(Path) {}

  void write(const std::string &Line);
  /// Milliseconds since the start.
  long now() const;

private:
  std::mutex Mutex;
  std::ofstream File;
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

/// Stand-in for the platform's store: a log with the calls that a gateway
/// makes. It loses nothing.
class store {
public:
  explicit store(int Port);

  /// Writes the newest record of \p Key; an empty \p Value drops the key.
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  using records = std::vector<std::pair<std::string, std::string>>;

  void handle(connection &Connection, const message &Request);
  std::string append(const message &Request);
  std::string read(const message &Request);
  std::string newest(const message &Request);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, records> Topics;
  server Server;
};

/// Stand-in for a model or service runner. It registers itself, and ends and
/// starts again as a process would.
class runner {
public:
  using handler =
      std::function<void(runner &, connection &, const message &Request)>;

  runner(store &Store, record &Record, std::string Service, std::string Name,
         int Port, handler Handler);
  ~runner();

  void start();
  /// Makes the runner start again under the id that it had.
  void keepId() { KeepsId = true; }
  /// Ends without notice and is back after \p Time, under a new id unless it
  /// keeps its id. The entry of an id that is gone is dropped after three
  /// heartbeats.
  void crash(milliseconds Time);
  std::string id() const;
  /// Headers that each response has.
  std::string headersFor(const message &Request) const;

private:
  void registerAt(const std::string &Id);
  void beat();

  store &Store;
  record &Record;
  const std::string Service;
  const std::string Name;
  const int Port;
  const handler Handler;
  mutable std::mutex Mutex;
  int Lifetime = 0;
  long Born = 0;
  std::uint64_t Sequence = 0;
  std::atomic<bool> KeepsId{false};
  std::atomic<bool> Running{false};
  std::atomic<bool> Crashing{false};
  std::atomic<bool> Ended{false};
  std::atomic<int> Pending{0};
  std::unique_ptr<server> Server;
  std::thread Heart;
};

/// One process of the gateway, with the command of the deploy file.
class gateway {
public:
  /// \param Ports callers, ready, directory, peers and metrics.
  gateway(std::string Name, std::string Folder, int StorePort, int SeedPort,
          std::vector<int> Ports);
  ~gateway();

  void start();
  /// Sends SIGTERM, and SIGKILL after the grace period.
  void stop();
  void kill();
  bool running();
  bool ready() const;
  /// Waits until the gateway is ready; false if it is not in time.
  bool awaitReady(milliseconds Time) const;
  int port() const { return Ports[0]; }
  /// Peak of the resident memory in kilobytes; 0 if unknown.
  long peakKilobytes() const;

private:
  const std::string Name;
  const std::string Folder;
  const std::vector<int> Ports;
  pid_t Process = 0;
};

/// Sends \p Request to \p Port on a new connection; empty if there is no whole
/// response.
std::optional<message> exchange(int Port, const std::string &Request,
                                milliseconds Time);

/// Makes SIGTERM and SIGINT end the gateways and this process.
void endWithGateways();

/// True unless the environment holds TROUBLE=0.
bool withTrouble();

/// Exit codes of a case.
enum exit_code { Held = 0, Broken = 1, CannotRun = 2 };

} // namespace review

#endif // REVIEW_STANDINS_3_PLATFORM_H

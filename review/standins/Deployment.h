#ifndef REVIEW_STANDINS_DEPLOYMENT_H
#define REVIEW_STANDINS_DEPLOYMENT_H

#include "Gateway.h"
#include "Runner.h"
#include "Store.h"
#include <memory>

namespace review {

/// Exit codes of a case.
enum exit_code { Held = 0, Broken = 1, CannotRun = 2 };

/// A route of the configuration.
struct route {
  std::string Name;
  /// streaming, idempotent or non_idempotent.
  std::string Kind;
  std::string Service;
  unsigned TimeoutMs;
  unsigned ObjectiveMs;
  unsigned Attempts = 1;
  bool Resumable = true;
};

/// A store with a configuration and registered runners, which renew their
/// registrations as on the platform, and gateways.
class deployment {
public:
  /// \param Folder the case's folder, in which record.txt is written.
  explicit deployment(const std::string &Folder);
  ~deployment();

  record &log() { return Record; }
  const std::string &workFolder() const { return Work; }

  void configure(const std::vector<route> &Routes);
  void registerRunner(const runner &Runner, const std::string &Service);
  void registerRunner(const std::string &Id, const std::string &Address,
                      const std::string &Service);
  /// Removes the entry of a runner that has crashed, once it has been silent
  /// for three renewals.
  void dropRunner(const std::string &Id);
  /// Starts a gateway; ends the case if it does not become ready.
  gateway &startGateway(const std::string &Name, unsigned MemoryMb);

  /// Ends the process with \p Code after the gateways have ended.
  [[noreturn]] void finish(exit_code Code, const std::string &Why);

private:
  void renewRegistrations();

  std::string Work;
  record Record;
  store Store;
  std::mutex Mutex;
  std::map<std::string, std::string> Registrations;
  std::vector<std::unique_ptr<gateway>> Gateways;
};

/// A client's request, with the id \p Id on the route \p Route.
message makeRequest(const std::string &Route, const std::string &Id,
                    unsigned DeadlineMs, std::string Body = "x");

/// False if the environment asks for a run without the disruption.
bool withTrouble();

} // namespace review

#endif // REVIEW_STANDINS_DEPLOYMENT_H

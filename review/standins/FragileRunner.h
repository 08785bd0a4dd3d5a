#ifndef REVIEW_STANDINS_FRAGILERUNNER_H
#define REVIEW_STANDINS_FRAGILERUNNER_H

#include "Deployment.h"
#include <set>

namespace review {

/// Stand-in for a runner that streams answers and crashes when it begins to
/// write an answer on a prompt with a certain part: all its connections are
/// reset, its port has no listener, and some seconds later it starts again as
/// a new runner.
class fragile_runner {
public:
  /// What the runners of a case have seen. Thread-safe.
  class observer {
  public:
    virtual ~observer() = default;
    virtual void onArrival(const std::string &Request, bool Deadly) = 0;
    virtual void onBegin(const std::string &Request) = 0;
    virtual void onCrash(std::size_t OpenRequests) = 0;
  };

  /// What has been written of an answer when the runner crashes.
  enum class written { Nothing, Head, FirstEvent };

  fragile_runner(std::string Name, deployment &Deployment, std::string Service,
                 std::string DeadlyPart, written Written, observer &Observer);

  void start();

private:
  void acceptLoop(int Listener);
  void serve(int Socket, const std::string &Id, unsigned Lifetime);
  void answer(connection &Connection, const message &Request,
              unsigned Lifetime);
  void crash(unsigned CrashedLifetime);

  std::string Name;
  deployment &Deployment;
  std::string Service;
  std::string DeadlyPart;
  written Written;
  observer &Observer;
  std::uint16_t Port;
  std::mutex Mutex;
  int Listener = -1;
  unsigned Lifetime = 0;
  std::string Id;
  std::set<int> Sockets;
};

} // namespace review

#endif // REVIEW_STANDINS_FRAGILERUNNER_H

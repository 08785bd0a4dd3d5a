#ifndef REVIEW_STANDINS_STORE_H
#define REVIEW_STANDINS_STORE_H

#include "Listener.h"
#include <condition_variable>
#include <map>
#include <mutex>

namespace review {

/// Stand-in for the platform's store: the keyed topics that the gateway uses,
/// each with one partition.
class store {
public:
  store() : Server([this](connection &Connection) { serve(Connection); }) {}

  std::string address() const { return Server.address(); }
  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);

private:
  using record_list = std::vector<std::pair<std::string, std::string>>;

  void serve(connection &Connection);
  message respond(const message &Request);
  message append(const message &Request);
  message read(const message &Request);
  message newest(const message &Request);

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, record_list> Topics;
  listener Server;
};

} // namespace review

#endif // REVIEW_STANDINS_STORE_H

#ifndef UTILS_PLATFORM_STORESTANDIN_H
#define UTILS_PLATFORM_STORESTANDIN_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include <map>
#include <string>
#include <vector>

namespace bluebellkeel {

/// The platform's store in memory: keyed topics with appends, reads that wait
/// and the newest of each key, and its faults.
class store_standin final : public http_handler {
public:
  /// What is wrong with the store.
  enum class fault { None, Busy, Silent, AnswersLost };

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// Drops the history of \p Topic; the newest of each key stays.
  void compact(const std::string &Topic);
  void setFault(fault NewFault);
  /// The newest value of a key; empty when there is none.
  std::string newest(const std::string &Topic, const std::string &Key) const;
  int calls() const;

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  struct topic {
    std::vector<std::pair<std::string, std::string>> Records;
    std::size_t First = 0;
  };

  void append(const http_request &Request, http_responder &Responder);
  void read(const http_request &Request, http_responder &Responder,
            boost::asio::yield_context Yield);
  void listNewest(const http_request &Request, http_responder &Responder);
  /// The body of a read from \p From; empty when nothing is there yet.
  std::string recordsFrom(const std::string &Topic, std::size_t From) const;

  mutable absl::Mutex Mutex;
  std::map<std::string, topic> Topics ABSL_GUARDED_BY(Mutex);
  fault Fault ABSL_GUARDED_BY(Mutex) = fault::None;
  int Calls ABSL_GUARDED_BY(Mutex) = 0;
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_STORESTANDIN_H

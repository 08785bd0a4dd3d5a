#ifndef UTILS_PLATFORM_STORESTANDIN_H
#define UTILS_PLATFORM_STORESTANDIN_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Http/HttpHandler.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bluebellkeel {

/// In-memory stand-in for the platform's store: keyed topics with appends,
/// long-poll reads, the newest value of each key, and injected faults.
/// Thread-safe.
class store_standin final : public http_handler {
public:
  /// Injected fault: Busy refuses with 503, Silent closes the connection after
  /// five seconds without a response, and AnswersLost performs an append and
  /// then closes the connection without a response.
  enum class fault { None, Busy, Silent, AnswersLost };
  using copy_sizes = std::map<std::string, std::size_t>;

  void put(const std::string &Topic, const std::string &Key,
           const std::string &Value);
  /// Makes reads below the current end of \p Topic fail as compacted; the
  /// newest value of each key is kept.
  void compact(const std::string &Topic);
  void setFault(fault NewFault);
  /// Refuses all reads of \p Topic with 503 from now on.
  void refuseReads(const std::string &Topic);
  /// Never answers the reads of \p Topic that are waiting now; their
  /// connections stay open.
  void dropWaitingReads(const std::string &Topic);
  /// Returns how many records each topic holds, for restore().
  copy_sizes takeCopy() const;
  /// Loses what was written after \p Copy was taken and raises the era. Offsets
  /// are given out again.
  void restore(const copy_sizes &Copy);
  /// Loses what was written in the last \p Time and raises the era.
  void restoreFrom(milliseconds Time);
  /// Sets how many keys a page of the newest values holds at most.
  void setPageSize(std::size_t Keys);
  /// Returns the newest value of \p Key, or an empty string if there is none.
  std::string newest(const std::string &Topic, const std::string &Key) const;
  /// Returns the number of HTTP requests received so far.
  int calls() const;

  void handle(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield) override;

private:
  struct topic {
    std::vector<std::pair<std::string, std::string>> Records;
    /// Time at which each record was written.
    std::vector<monotonic_time> WrittenAt;
    /// Lowest offset that can be read.
    std::size_t First = 0;
    /// Number of calls of dropWaitingReads(); a read that began before the
    /// latest one is not answered.
    std::uint64_t Drops = 0;
    bool ReadsRefused = false;
  };

  void addTo(topic &Topic, const std::string &Key, const std::string &Value);
  void truncate(topic &Topic, std::size_t Size);
  /// Returns a response with the era in its header.
  http_response respond(int Status, const std::string &Body) const;
  void append(const http_request &Request, http_responder &Responder);
  void read(const http_request &Request, http_responder &Responder,
            boost::asio::yield_context Yield);
  void listNewest(const http_request &Request, http_responder &Responder);
  std::uint64_t dropsOf(const std::string &Topic) const;
  bool readsRefused(const std::string &Topic) const;
  /// Returns the body of a read from offset \p From; empty if there are no
  /// records yet.
  std::string recordsFrom(const std::string &Topic, std::size_t From) const;

  mutable absl::Mutex Mutex;
  std::map<std::string, topic> Topics ABSL_GUARDED_BY(Mutex);
  fault Fault ABSL_GUARDED_BY(Mutex) = fault::None;
  int Calls ABSL_GUARDED_BY(Mutex) = 0;
  std::uint64_t Era ABSL_GUARDED_BY(Mutex) = 1;
  std::size_t PageSize ABSL_GUARDED_BY(Mutex) = 500;
};

} // namespace bluebellkeel

#endif // UTILS_PLATFORM_STORESTANDIN_H

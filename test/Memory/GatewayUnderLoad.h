#ifndef TEST_MEMORY_GATEWAYUNDERLOAD_H
#define TEST_MEMORY_GATEWAYUNDERLOAD_H

#include "Adapter/CallbackHandler.h"
#include "Processes/ChildProcess.h"
#include "StoreStandin.h"
#include "bluebellkeel/Http.h"
#include <memory>
#include <string>

namespace bluebellkeel {

/// A gateway process with little memory, its store and an upstream. The path
/// of a request says what the upstream does: /once/silent never answers,
/// /once/large answers with 250,000 bytes, /once/huge with 400,000,
/// /stream/large sends long events without end, and anything else is answered
/// at once.
class gateway_under_load {
public:
  /// \param MemoryMb the memory that the settings give the gateway.
  explicit gateway_under_load(std::size_t MemoryMb);
  ~gateway_under_load();

  /// Returns true once the gateway serves requests; false on timeout.
  bool awaitReady();
  network_address callers() const { return address(10); }
  network_address readiness() const { return address(11); }
  network_address directory() const { return address(12); }
  network_address peers() const { return address(13); }
  network_address metricsAddress() const { return address(14); }
  bool ended() const { return Gateway->ended(); }
  /// Returns the most memory that was ever resident, in bytes.
  std::size_t peakMemory() const;
  /// Returns the number of descriptors that the gateway has open now.
  std::size_t openDescriptors() const;
  /// Returns the status of the response to an ordinary request; 0 if there is
  /// no response.
  int statusOfOrdinaryRequest() const;
  /// Returns the number of requests that reached the upstream.
  std::size_t arrivals() const { return Arrivals; }
  std::string metrics();
  /// Returns the status of the response to a GET request for \p Target; 0 if
  /// there is no response.
  int statusOf(const network_address &Address, const std::string &Target) const;
  std::string log() const;
  void signal(int Signal) const { Gateway->signal(Signal); }
  /// Waits for the process to end and returns its exit code, or -1 if a signal
  /// ended it.
  int awaitEnd() { return Gateway->wait(); }

private:
  static network_address address(int Offset);
  std::string writeSettings(std::size_t MemoryMb) const;
  void answer(const http_request &Request, http_responder &Responder,
              boost::asio::yield_context Yield);

  const std::string Folder;
  std::atomic<std::size_t> Arrivals{0};
  thread_pool Pool{2};
  store_standin Store;
  callback_handler Upstream{
      [this](const auto &Request, auto &Responder, auto Yield) {
        answer(Request, Responder, Yield);
      }};
  http_limits Limits{4000, 8UL * 1024 * 1024, seconds(60)};
  http_server StoreServer{Pool, Store, Limits};
  http_server UpstreamServer{Pool, Upstream, Limits};
  http_client Client{http_timeouts(seconds(1), seconds(5), seconds(5))};
  std::unique_ptr<child_process> Gateway;
};

} // namespace bluebellkeel

#endif // TEST_MEMORY_GATEWAYUNDERLOAD_H

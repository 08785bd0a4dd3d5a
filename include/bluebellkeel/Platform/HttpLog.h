#ifndef BLUEBELLKEEL_PLATFORM_HTTPLOG_H
#define BLUEBELLKEEL_PLATFORM_HTTPLOG_H

#include "bluebellkeel/Core/NetworkAddress.h"
#include "bluebellkeel/Http/HttpClient.h"
#include "bluebellkeel/Journal/RecordLog.h"
#include "bluebellkeel/Platform/AppendMonitor.h"

namespace bluebellkeel {

/// A stream of the platform's log, accessed over HTTP.
///
/// \tparam entry_t type of the entries; needs a record_codec.
template <typename entry_t> class http_log final : public record_log<entry_t> {
public:
  http_log(network_address Address, http_timeouts Timeouts,
           append_monitor &Monitor)
      : Address(std::move(Address)), Client(Timeouts), Monitor(Monitor) {}

  tl::expected<log_offset, journal_error>
  append(const std::vector<entry_t> &Entries) override;

  tl::expected<log_page<entry_t>, journal_error>
  read(log_offset From, std::size_t MaxRecords) override;

private:
  network_address Address;
  http_client Client;
  append_monitor &Monitor;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_HTTPLOG_H

#include "Endpoints.h"
#include "OperatorEndpoint.h"
#include "absl/strings/numbers.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Http/Await.h"
#include <set>
#include <thread>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr std::size_t PageSize = 1000;

namespace {

/// GET /admin/bills?from=OFFSET: one page of bills from the log. Duplicates
/// within a page are omitted; a client that reads several pages must drop bills
/// that also appear on an earlier page.
class bills_endpoint final : public operator_endpoint {
public:
  explicit bills_endpoint(frontend_context &Context)
      : operator_endpoint(Context, "GET", "/admin/bills") {}

private:
  using page_result = tl::expected<log_page<bill>, journal_error>;

  void handleFor(const team_id &Team, const http_request &Request,
                 http_responder &Responder,
                 boost::asio::yield_context Yield) override;
};

} // namespace

static json pageToJson(const log_page<bill> &Page) {
  std::set<std::pair<account_id, request_id>> Seen;
  json Bills = json::array();
  for (const auto &Record : Page.records()) {
    const bill &Bill = Record.entry();
    if (Seen.insert({Bill.account(), Bill.request()}).second)
      Bills.push_back(toJson(Bill));
  }
  return {{"bills", std::move(Bills)},
          {"next", Page.readTo().next().value()},
          {"head", Page.head().value()}};
}

void bills_endpoint::handleFor(const team_id & /*Team*/,
                               const http_request &Request,
                               http_responder &Responder,
                               boost::asio::yield_context Yield) {
  std::uint64_t From = 1;
  std::string Text = Request.query("from");
  if (!Text.empty() && (!absl::SimpleAtoi(Text, &From) || From == 0)) {
    sendError(Responder, 400, "bad_request", "from: expected an offset.");
    return;
  }
  // Reading the log blocks, so it runs on a separate thread.
  std::thread Reader;
  auto Page = awaitCallback<page_result>(
      Yield, [&](std::function<void(page_result)> Done) {
        Reader = std::thread([this, From, Done] {
          Done(Context.BillLog.read(log_offset(From), PageSize));
        });
      });
  Reader.join();
  if (Page)
    sendJson(Responder, 200, pageToJson(*Page));
  else
    sendError(Responder, 503, "log_unavailable", "The log could not be read.");
}

std::unique_ptr<endpoint>
bluebellkeel::makeBillsEndpoint(frontend_context &Context) {
  return std::make_unique<bills_endpoint>(Context);
}

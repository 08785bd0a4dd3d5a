#include "RequestDependencies.h"

using namespace bluebellkeel;

static http_timeouts upstreamTimeouts(const startup_limits &Limits) {
  return http_timeouts(Limits.Connect, Limits.FirstByte, Limits.BetweenTokens);
}

request_dependencies::request_dependencies(frontend_context &Parts,
                                           upstream_chooser &Chooser,
                                           boost::asio::yield_context Yield)
    : Slots(Parts.Grants, Parts.Admission, Parts.Waker,
            Parts.Startup.Limits.AdmissionWait, Yield),
      Bills(Parts.Bills, Yield), Claims(Parts.Claims, Yield),
      Engines(Yield, upstreamTimeouts(Parts.Startup.Limits)),
      Services(Yield, upstreamTimeouts(Parts.Startup.Limits)),
      Deps{Parts.Clock,   Parts.Settings,
           Parts.Gate,    Parts.Planner,
           Chooser,       Parts.Candidates,
           Parts.Crashes, Parts.CrashReports,
           Parts.Health,  Parts.Retries,
           Parts.Tickets, Parts.Random,
           Parts.Metrics, Slots,
           Bills,         Claims,
           Engines,       Services} {}

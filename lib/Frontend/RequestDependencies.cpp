#include "RequestDependencies.h"

using namespace bluebellkeel;

static http_timeouts upstreamTimeouts(const startup_limits &Limits) {
  return http_timeouts(Limits.Connect, Limits.FirstByte, Limits.BetweenTokens);
}

request_dependencies::request_dependencies(frontend_context &Context,
                                           upstream_chooser &Chooser,
                                           boost::asio::yield_context Yield)
    : Slots(Context.Grants, Context.Admission, Context.Waker,
            Context.Startup.Limits.AdmissionWait, Yield),
      Bills(Context.Bills, Yield), Claims(Context.Claims, Yield),
      Engines(Yield, upstreamTimeouts(Context.Startup.Limits)),
      Services(Yield, upstreamTimeouts(Context.Startup.Limits)),
      Deps{Context.Clock,   Context.Settings,
           Context.Gate,    Context.Planner,
           Chooser,         Context.Candidates,
           Context.Crashes, Context.CrashReports,
           Context.Health,  Context.Retries,
           Context.Tickets, Context.Random,
           Context.Metrics, Slots,
           Bills,           Claims,
           Engines,         Services} {}

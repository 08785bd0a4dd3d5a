#include "bluebellkeel/Upstream/GrantIssuer.h"
#include <algorithm>

using namespace bluebellkeel;

/// Factor by which each warm-up step raises the load.
static constexpr std::uint32_t WarmFactor = 2;

void grant_issuer::setOwned(const std::vector<upstream_record> &Records,
                            monotonic_time Now) {
  std::set<upstream_id> Ids;
  for (const auto &Record : Records) {
    Ids.insert(Record.id());
    Owned.withShard(Record.id().text(), [&](owned_map &Shard) {
      auto [Entry, New] = Shard.try_emplace(Record.id());
      owned_upstream &Upstream = Entry->second;
      if (!New && Now - Upstream.ConfirmedAt > ConfirmLifetime)
        Upstream.OwnedSince = Now;
      Upstream.ConfirmedAt = Now;
      if (New) {
        Upstream.OwnedSince = Now;
        Upstream.WarmStepStart = Now;
        Upstream.ReportedAt = Now;
        Upstream.Capacity = Record.cold();
      }
      Upstream.Record = Record;
      if (Record.leaving())
        Upstream.Lifecycle.listedLeaving();
    });
  }
  Owned.forEachShard([&](owned_map &Shard) {
    for (auto It = Shard.begin(); It != Shard.end();) {
      if (Ids.count(It->first) > 0)
        ++It;
      else
        It = Shard.erase(It);
    }
  });
}

void grant_issuer::noteReport(const upstream_id &Id, const load_report &Report,
                              monotonic_time Now) {
  Owned.withShard(Id.text(), [&](owned_map &Shard) {
    auto Found = Shard.find(Id);
    if (Found != Shard.end())
      takeReport(Found->second, Report, Now);
  });
}

void grant_issuer::takeReport(owned_upstream &Upstream,
                              const load_report &Report, monotonic_time Now) {
  Upstream.Report = Report;
  Upstream.ReportedAt = Now;
  upstream_phase Before = Upstream.Lifecycle.phase();
  if (!Report.warm()) {
    Upstream.Lifecycle.reportedCold();
    Upstream.Capacity = Upstream.Record.cold();
    Upstream.WarmStepStart = Now;
    return;
  }
  Upstream.Lifecycle.reportedWarm();
  if (Upstream.Lifecycle.phase() != upstream_phase::Warming)
    return;
  if (Before != upstream_phase::Warming) {
    Upstream.Capacity = Upstream.Record.cold();
    Upstream.WarmStepStart = Now;
    return;
  }
  if (Now - Upstream.WarmStepStart < Rules.warmStep())
    return;
  Upstream.WarmStepStart = Now;
  const load_amount &Full = Upstream.Record.warm();
  load_amount Raised(
      std::max<std::uint32_t>(1, Upstream.Capacity.requests() * WarmFactor),
      std::max<std::uint64_t>(1, Upstream.Capacity.tokens() * WarmFactor));
  Upstream.Capacity = Raised.atMost(Full);
  if (Full.fitsIn(Upstream.Capacity))
    Upstream.Lifecycle.reachedFullLoad();
}

load_amount grant_issuer::availableTo(const owned_upstream &Upstream,
                                      const instance_id &Holder) const {
  load_amount GrantedToOthers;
  load_amount Accounted;
  for (const auto &[Id, Holding] : Upstream.Holders) {
    Accounted = Accounted.plus(Holding.Share);
    if (Id != Holder)
      GrantedToOthers = GrantedToOthers.plus(Holding.Share);
  }
  load_amount Unaccounted = Upstream.Report.load().minus(Accounted);
  return Upstream.Capacity.minus(GrantedToOthers).minus(Unaccounted);
}

/// Returns an equal share of the requests for each of \p Count holders, at
/// least one. Tokens are not divided, since a long prompt would otherwise fit
/// into no share.
static load_amount fairShare(const load_amount &Total, std::size_t Count) {
  auto Divisor = static_cast<std::uint32_t>(std::max<std::size_t>(1, Count));
  return load_amount(std::max(1U, Total.requests() / Divisor), Total.tokens());
}

void grant_issuer::removeEnded(owned_upstream &Upstream, monotonic_time Now) {
  for (auto It = Upstream.Holders.begin(); It != Upstream.Holders.end();) {
    if (It->second.Ends <= Now)
      It = Upstream.Holders.erase(It);
    else
      ++It;
  }
}

static bool takesNewWork(upstream_phase Phase) {
  return Phase == upstream_phase::Cold || Phase == upstream_phase::Warming ||
         Phase == upstream_phase::Ready;
}

std::optional<grant> grant_issuer::issueFrom(owned_upstream &Upstream,
                                             const grant_request &Request,
                                             monotonic_time Now) {
  if (Now - Upstream.ConfirmedAt > ConfirmLifetime)
    return std::nullopt;
  if (Now - Upstream.OwnedSince < Rules.term())
    return std::nullopt;
  if (Now - Upstream.ReportedAt > Rules.maxReportAge())
    Upstream.Lifecycle.reportsFailed();
  removeEnded(Upstream, Now);
  load_amount Share;
  if (takesNewWork(Upstream.Lifecycle.phase())) {
    std::size_t Others =
        Upstream.Holders.size() - Upstream.Holders.count(Request.from());
    Share = Request.wanted()
                .atMost(fairShare(Upstream.Capacity, Others + 1))
                .atMost(availableTo(Upstream, Request.from()));
  }
  // Running work counts until the holder reports its end.
  load_amount Counted(std::max(Share.requests(), Request.inFlight().requests()),
                      std::max(Share.tokens(), Request.inFlight().tokens()));
  if (Counted == load_amount())
    Upstream.Holders.erase(Request.from());
  else
    Upstream.Holders[Request.from()] = {Counted, Now + Rules.term()};
  return grant(Request.upstream(), Share, Rules.term());
}

std::optional<grant> grant_issuer::issue(const grant_request &Request,
                                         monotonic_time Now) {
  return Owned.withShard(Request.upstream().text(),
                         [&](owned_map &Shard) -> std::optional<grant> {
                           auto Found = Shard.find(Request.upstream());
                           if (Found == Shard.end())
                             return std::nullopt;
                           return issueFrom(Found->second, Request, Now);
                         });
}

upstream_phase grant_issuer::phaseOf(const upstream_id &Id) {
  return Owned.withShard(Id.text(), [&](owned_map &Shard) {
    auto Found = Shard.find(Id);
    return Found == Shard.end() ? upstream_phase::Unknown
                                : Found->second.Lifecycle.phase();
  });
}

#ifndef BLUEBELLKEEL_LIB_GATEWAY_BOARDEXCHANGER_H
#define BLUEBELLKEEL_LIB_GATEWAY_BOARDEXCHANGER_H

#include "bluebellkeel/Gateway/GatewayContext.h"
#include "bluebellkeel/Peer/PeerLink.h"
#include "bluebellkeel/Peer/PeerResponder.h"
#include "bluebellkeel/Upstream/LoadCollector.h"
#include "bluebellkeel/Upstream/LoadContributor.h"

namespace bluebellkeel {

/// Sends this instance's loads to the collector of its data centre, and, where
/// other instances chose this one as theirs, sends them the board. Idle while
/// each digest round reaches every peer, and while no upstream reports its
/// speed. answer() may run beside runRound().
class board_exchanger final : public peer_responder {
public:
  board_exchanger(gateway_context &Context, peer_link &Link)
      : Context(Context), Link(Link),
        Contributor(Context.Settings.Instance, Context.Loads, Context.Clock),
        Local(Context.Clock), All(Context.Clock) {}

  /// Takes in contributions and boards, which have no answer.
  std::optional<peer_body> answer(const instance_id &From,
                                  const peer_body &Body) override;
  /// Sends what is due now; returns the time until the next round.
  milliseconds runRound();

private:
  bool isNeeded(monotonic_time Now) const;
  void takeIn(const instance_id &From, const load_batch &Batch);
  void contribute(const std::vector<instance_record> &Live, monotonic_time Now);
  void sendBoards(const std::vector<instance_record> &Live,
                  const std::vector<load_contribution> &Served);
  void passOn(const std::vector<instance_record> &Live,
              std::vector<load_contribution> Served, monotonic_time Now);
  void apply(const load_board &Board);
  void reportState(bool Needed);

  gateway_context &Context;
  peer_link &Link;
  load_contributor Contributor;
  /// What came from the instances that this one serves.
  load_collector Local;
  /// This and what other collectors passed on.
  load_collector All;
  monotonic_time ContributedAt;
  monotonic_time PassedOnAt;
  bool HadBoard = false;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_GATEWAY_BOARDEXCHANGER_H

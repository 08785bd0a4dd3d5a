#ifndef BLUEBELLKEEL_SCALE_SCALEQUERY_H
#define BLUEBELLKEEL_SCALE_SCALEQUERY_H

#include "bluebellkeel/Scale/ScaleObservation.h"
#include "bluebellkeel/Scale/SentOrder.h"
#include <map>

namespace bluebellkeel {

/// The question how many upstreams a service should have.
class scale_query : public comparable<scale_query> {
public:
  using order_map = std::map<data_centre_id, sent_order>;

  scale_query(scale_observation Now, work_total Peak, bool PeakIsComplete,
              order_map LastOrders)
      : Now(std::move(Now)), Peak(Peak), PeakIsComplete(PeakIsComplete),
        LastOrders(std::move(LastOrders)) {}

  const scale_observation &now() const { return Now; }
  /// The most work of the last seconds.
  const work_total &peak() const { return Peak; }
  /// True if the peak is of a time longer than a wave.
  bool peakIsComplete() const { return PeakIsComplete; }
  const order_map &lastOrders() const { return LastOrders; }
  auto key() const { return std::tie(Now, Peak, PeakIsComplete, LastOrders); }

private:
  scale_observation Now;
  work_total Peak;
  bool PeakIsComplete;
  order_map LastOrders;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SCALE_SCALEQUERY_H

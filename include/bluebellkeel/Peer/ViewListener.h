#ifndef BLUEBELLKEEL_PEER_VIEWLISTENER_H
#define BLUEBELLKEEL_PEER_VIEWLISTENER_H

#include "bluebellkeel/Journal/KeyedPage.h"
#include "bluebellkeel/Journal/KeyedTopic.h"

namespace bluebellkeel {

/// Receives what a view_synchronizer fetched.
class view_listener {
public:
  virtual ~view_listener() = default;

  /// Called after \p Page of \p Topic was applied to the view, from a thread of
  /// the peer link.
  virtual void onRecordsFetched(keyed_topic Topic, const keyed_page &Page) = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PEER_VIEWLISTENER_H

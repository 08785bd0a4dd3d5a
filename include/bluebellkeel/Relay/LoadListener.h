#ifndef BLUEBELLKEEL_RELAY_LOADLISTENER_H
#define BLUEBELLKEEL_RELAY_LOADLISTENER_H

namespace bluebellkeel {

/// Notified when this instance sends so much work to an upstream that its peers
/// should learn of the load before the next regular exchange.
class load_listener {
public:
  virtual ~load_listener() = default;

  /// Must not block.
  virtual void onHeavyPrefill() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_LOADLISTENER_H

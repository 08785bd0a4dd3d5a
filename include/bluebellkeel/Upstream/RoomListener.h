#ifndef BLUEBELLKEEL_UPSTREAM_ROOMLISTENER_H
#define BLUEBELLKEEL_UPSTREAM_ROOMLISTENER_H

namespace bluebellkeel {

/// Is told when an upstream may have room for a waiting request.
class room_listener {
public:
  virtual ~room_listener() = default;

  virtual void roomMayBeFree() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_UPSTREAM_ROOMLISTENER_H

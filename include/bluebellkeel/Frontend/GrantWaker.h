#ifndef BLUEBELLKEEL_FRONTEND_GRANTWAKER_H
#define BLUEBELLKEEL_FRONTEND_GRANTWAKER_H

namespace bluebellkeel {

/// Has grants asked for at once, since a request waits for one.
class grant_waker {
public:
  virtual ~grant_waker() = default;

  virtual void wakeGrantTask() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_FRONTEND_GRANTWAKER_H

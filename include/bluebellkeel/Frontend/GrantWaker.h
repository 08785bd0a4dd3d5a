#ifndef BLUEBELLKEEL_FRONTEND_GRANTWAKER_H
#define BLUEBELLKEEL_FRONTEND_GRANTWAKER_H

namespace bluebellkeel {

/// Triggers the grant task at once when a request waits for a grant.
class grant_waker {
public:
  virtual ~grant_waker() = default;

  virtual void wakeGrantTask() = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_FRONTEND_GRANTWAKER_H

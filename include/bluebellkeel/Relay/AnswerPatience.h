#ifndef BLUEBELLKEEL_RELAY_ANSWERPATIENCE_H
#define BLUEBELLKEEL_RELAY_ANSWERPATIENCE_H

#include "bluebellkeel/Routing/ForwardRoute.h"

namespace bluebellkeel {

/// How long an upstream may be silent before its request goes elsewhere.
class answer_patience : public comparable<answer_patience> {
public:
  /// \param TimeLeft until the final answer is due.
  /// \param MoreRuns true when the request could run again elsewhere; else
  /// there is nothing to gain by giving up early.
  answer_patience(const forward_route &Route, milliseconds TimeLeft,
                  bool MoreRuns);

  /// Time until the head of the answer.
  milliseconds firstByte() const { return FirstByte; }
  /// Time between two pieces of the answer.
  milliseconds pause() const { return Pause; }
  auto key() const { return std::tie(FirstByte, Pause); }

private:
  milliseconds FirstByte;
  milliseconds Pause;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_ANSWERPATIENCE_H

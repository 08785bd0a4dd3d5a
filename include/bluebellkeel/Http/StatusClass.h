#ifndef BLUEBELLKEEL_HTTP_STATUSCLASS_H
#define BLUEBELLKEEL_HTTP_STATUSCLASS_H

namespace bluebellkeel {

/// What the status of a head says about the response.
enum class status_class {
  /// Another head follows.
  Interim,
  /// The head is that of the response.
  Final,
  /// The head is no response to a request of ours.
  Invalid,
};

/// Returns the class of \p Status, for every reader of responses. Requests ask
/// for no change of the protocol, so 101 is no response to them.
inline status_class classOfStatus(unsigned Status) {
  constexpr unsigned Continue = 100;
  constexpr unsigned Processing = 102;
  constexpr unsigned EarlyHints = 103;
  constexpr unsigned FirstFinal = 200;
  constexpr unsigned LastFinal = 599;
  if (Status == Continue || Status == Processing || Status == EarlyHints)
    return status_class::Interim;
  return Status >= FirstFinal && Status <= LastFinal ? status_class::Final
                                                     : status_class::Invalid;
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_HTTP_STATUSCLASS_H

#include "bluebellkeel/Relay/EventSplitter.h"
#include <algorithm>
#include <charconv>

using namespace bluebellkeel;

/// Returns the number of a line such as `id: 12`; empty if the event has none.
static std::optional<std::uint64_t> numberOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  std::size_t Start = 0;
  while (Start < Event.size()) {
    std::size_t End = Event.find('\n', Start);
    std::string_view Line = Event.substr(Start, End - Start);
    Start = End == std::string_view::npos ? Event.size() : End + 1;
    if (Line.substr(0, Field.size()) != Field)
      continue;
    Line.remove_prefix(Field.size());
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::uint64_t Number = 0;
    auto Read = std::from_chars(Line.data(), Line.data() + Line.size(), Number);
    if (Read.ec == std::errc())
      return Number;
  }
  return std::nullopt;
}

static constexpr std::string_view LfBoundary = "\n\n";
static constexpr std::string_view CrLfBoundary = "\r\n\r\n";

/// Returns the length of the first event in \p Bytes, including the empty line
/// that ends it; 0 if no event is complete. No event ends in the first
/// \p ScannedBytes.
static std::size_t firstEventSize(std::string_view Bytes,
                                  std::size_t ScannedBytes) {
  std::size_t LfPosition = Bytes.find(LfBoundary, ScannedBytes);
  std::size_t CrLfPosition = Bytes.find(CrLfBoundary, ScannedBytes);
  if (LfPosition == std::string_view::npos &&
      CrLfPosition == std::string_view::npos)
    return 0;
  return LfPosition < CrLfPosition ? LfPosition + LfBoundary.size()
                                   : CrLfPosition + CrLfBoundary.size();
}

std::vector<stream_event> event_splitter::feed(std::string_view Bytes) {
  Remainder.append(Bytes);
  std::vector<stream_event> Events;
  std::string_view Left = Remainder;
  while (std::size_t Size = firstEventSize(Left, ScannedBytes)) {
    std::string_view Event = Left.substr(0, Size);
    Events.emplace_back(numberOf(Event), std::string(Event));
    Left.remove_prefix(Size);
    ScannedBytes = 0;
  }
  // A boundary may have begun in the last bytes.
  ScannedBytes = Left.size() - std::min(Left.size(), CrLfBoundary.size() - 1);
  Remainder = std::string(Left);
  return Events;
}

#include "bluebellkeel/Journal/JournalError.h"

using namespace bluebellkeel;

std::string_view bluebellkeel::toString(journal_error Error) {
  switch (Error) {
  case journal_error::Unavailable:
    return "unavailable";
  case journal_error::InDoubt:
    return "in_doubt";
  case journal_error::Malformed:
    return "malformed";
  case journal_error::Trimmed:
    return "trimmed";
  case journal_error::QueueFull:
    return "queue_full";
  case journal_error::Conflict:
    return "conflict";
  case journal_error::OldEra:
    return "old_era";
  }
  return "";
}

#include "bluebellkeel/Http/HttpError.h"

using namespace bluebellkeel;

std::string_view bluebellkeel::toString(http_error Error) {
  switch (Error) {
  case http_error::ConnectFailed:
    return "connect_failed";
  case http_error::SendFailed:
    return "send_failed";
  case http_error::FirstByteTimeout:
    return "first_byte_timeout";
  case http_error::ReadTimeout:
    return "read_timeout";
  case http_error::Closed:
    return "closed";
  case http_error::Malformed:
    return "malformed";
  case http_error::TooLarge:
    return "too_large";
  case http_error::Cancelled:
    return "cancelled";
  }
  return "";
}

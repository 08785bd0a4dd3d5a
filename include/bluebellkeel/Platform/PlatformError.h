#ifndef BLUEBELLKEEL_PLATFORM_PLATFORMERROR_H
#define BLUEBELLKEEL_PLATFORM_PLATFORMERROR_H

#include <string_view>

namespace bluebellkeel {

/// Why a request to a service of the platform failed: there was no response,
/// its status was an error, or its body could not be decoded.
enum class platform_error { Unreachable, Refused, Malformed };

inline std::string_view toString(platform_error Error) {
  switch (Error) {
  case platform_error::Unreachable:
    return "unreachable";
  case platform_error::Refused:
    return "refused";
  case platform_error::Malformed:
    return "malformed";
  }
  return "";
}

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_PLATFORM_PLATFORMERROR_H

#ifndef BLUEBELLKEEL_LIB_FRONTEND_DELTATEXT_H
#define BLUEBELLKEEL_LIB_FRONTEND_DELTATEXT_H

#include <string>

namespace bluebellkeel {

/// Returns the text that one chunk of a streamed response adds; empty if none.
std::string deltaText(const std::string &Payload);

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_LIB_FRONTEND_DELTATEXT_H

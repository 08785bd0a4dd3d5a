#include "bluebellkeel/Core/SystemRandom.h"
#include <cassert>
#include <openssl/rand.h>

using namespace bluebellkeel;

std::uint64_t system_random::next() {
  std::uint64_t Value = 0;
  int Status = RAND_bytes(reinterpret_cast<unsigned char *>(&Value),
                          static_cast<int>(sizeof(Value)));
  assert(Status == 1 && "the random generator has no seed");
  (void)Status;
  return Value;
}

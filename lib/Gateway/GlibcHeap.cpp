#include "bluebellkeel/Gateway/GlibcHeap.h"
#include <malloc.h>

using namespace bluebellkeel;

/// Without a fixed size, the library raises it to that of the largest block
/// that was ever freed, and keeps smaller ones.
static constexpr int LargeBlockBytes = 64 * 1024;

/// Free memory at the end of the heap that is kept, so that the heap does not
/// shrink and grow with each request.
static constexpr int KeptBytes = 1024 * 1024;

void glibc_heap::returnLargeBlocks() {
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, KeptBytes);
}

void glibc_heap::returnFreed() { malloc_trim(KeptBytes); }

#include "turmericpier/base/disk-error.h"

#include <catch2/catch.hpp>
#include <cerrno>

using namespace turmericpier;

// Guards against a process that gives up when its disk is full, and against one that waits for a permission.
TEST_CASE("a full or failing disk may recover", "[base]")
{
    CHECK(mayDiskRecover(ENOSPC));
    CHECK(mayDiskRecover(EDQUOT));
    CHECK(mayDiskRecover(EFBIG));
    CHECK(mayDiskRecover(EIO));
    CHECK_FALSE(mayDiskRecover(EACCES));
    CHECK_FALSE(mayDiskRecover(ENOENT));
    CHECK_FALSE(mayDiskRecover(EROFS));
}

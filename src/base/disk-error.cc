#include "turmericpier/base/disk-error.h"

#include <cerrno>

namespace turmericpier {

bool mayDiskRecover(int errorNumber)
{
    // EFBIG stands for a limit on the size of files.
    return errorNumber == ENOSPC || errorNumber == EDQUOT || errorNumber == EFBIG || errorNumber == EIO;
}

} // namespace turmericpier

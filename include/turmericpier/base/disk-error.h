#pragma once

/// Kinds of errors of files.
namespace turmericpier {

/// True for an `errno` of a disk that is full or fails, which may end without a change of the settings:
///
///     mayDiskRecover(ENOSPC); // true
///     mayDiskRecover(EACCES); // false
bool mayDiskRecover(int errorNumber);

} // namespace turmericpier

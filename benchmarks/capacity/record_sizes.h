// Sizes of stored records and the CPU time of their codecs.
#pragma once

namespace berylreach::capacity {

/// Prints bytes and encoding and decoding times of head records by members, of
/// documents and their largest part by leaves, of order journals by records,
/// and of messages between hosts.
int MeasureRecords();

}  // namespace berylreach::capacity

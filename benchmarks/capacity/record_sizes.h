// Sizes of stored records and messages, and the CPU time of their codecs.
#pragma once

namespace berylreach::capacity {

/// Prints the encoded size and the encoding and decoding times of head records
/// by number of members, of documents by number of leaves, and of order
/// journals by number of records. For the largest part of a document, the times
/// are those of splitting and assembling the document. Of messages
/// between hosts, prints only the size. Returns 0.
int MeasureRecords();

}  // namespace berylreach::capacity

#include "catalog/entry_packing.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <cstddef>
#include <string>

namespace spurrack::catalog {
namespace {

namespace io = google::protobuf::io;

/// Minimum total size, in bytes, at which the entries of a message are compressed. Compressing
/// fewer bytes would save less than a network packet.
constexpr std::size_t min_packed_bytes = 1'000;
/// Compression level of zlib: 1 is the fastest. The next levels save only a tenth more bytes and
/// take twice the time.
constexpr int compression_level = 1;
/// Maximum total size, in bytes, of the decompressed entries of a message: six times the size of
/// the catalog of the largest planned fleet. A message with more bytes of entries is rejected.
constexpr int max_unpacked_bytes = 64'000'000;

std::string compress(const wire::catalog_entries& content) {
  std::string packed;
  io::StringOutputStream sink(&packed);
  io::GzipOutputStream::Options options;
  options.format = io::GzipOutputStream::ZLIB;
  options.compression_level = compression_level;
  io::GzipOutputStream compressor(&sink, options);
  content.SerializeToZeroCopyStream(&compressor);
  compressor.Close();
  return packed;
}

} // namespace

wire::entry_range make_entry_range(source_kind source, store_position after,
                                   store_position through) {
  wire::entry_range range;
  range.set_source(static_cast<std::uint32_t>(source));
  range.set_after_era(after.era);
  range.set_after_revision(after.revision);
  range.set_through_era(through.era);
  range.set_through_revision(through.revision);
  return range;
}

void pack_entries(const std::vector<wire::catalog_entry>& entries, wire::catalog_push& message) {
  std::size_t bytes = 0;
  for (const auto& entry : entries) {
    bytes += entry.ByteSizeLong();
  }
  if (bytes < min_packed_bytes) {
    message.mutable_entries()->Assign(entries.begin(), entries.end());
    return;
  }
  wire::catalog_entries content;
  content.mutable_entries()->Assign(entries.begin(), entries.end());
  message.set_packed_entries(compress(content));
}

std::optional<std::vector<wire::catalog_entry>> unpack_entries(const wire::catalog_push& message) {
  std::vector<wire::catalog_entry> entries(message.entries().begin(), message.entries().end());
  if (message.packed_entries().empty()) {
    return entries;
  }
  io::ArrayInputStream source(message.packed_entries().data(),
                              static_cast<int>(message.packed_entries().size()));
  io::GzipInputStream decompressor(&source, io::GzipInputStream::ZLIB);
  io::CodedInputStream bounded(&decompressor);
  bounded.SetTotalBytesLimit(max_unpacked_bytes);
  wire::catalog_entries content;
  // If the bytes cannot be decompressed, parsing may still succeed and yield an empty list.
  // `pack_entries` never compresses an empty list. An empty list therefore means that the
  // compressed entries are unreadable.
  if (!content.ParseFromCodedStream(&bounded) || content.entries().empty()) {
    return std::nullopt;
  }
  entries.insert(entries.end(), content.entries().begin(), content.entries().end());
  return entries;
}

} // namespace spurrack::catalog

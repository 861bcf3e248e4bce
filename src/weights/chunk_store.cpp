#include <ospreystage/weights/chunk_store.hpp>

#include <fcntl.h>
#include <sys/types.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace ospreystage {

namespace {

constexpr int owner_only = 0600;

leaf::error_id missing(const char* step, const digest& version) {
    return fail(error_code::not_found, step, "", "version " + version);
}

leaf::error_id system_failure(const char* step, const digest& version) {
    return fail(error_code::unavailable, step, "",
                version + ": " + std::strerror(errno));
}

} // namespace

// ---- memory_chunks ---------------------------------------------------------

leaf::result<void> memory_chunks::open(const digest& version,
                                       std::uint64_t bytes) {
    contents_[version].resize(bytes);
    return {};
}

leaf::result<void> memory_chunks::write(const digest& version,
                                        std::uint64_t offset,
                                        const std::string& data) {
    contents_.at(version).replace(offset, data.size(), data);
    return {};
}

leaf::result<std::string> memory_chunks::read(const digest& version,
                                              std::uint64_t offset,
                                              std::size_t size) const {
    return contents_.at(version).substr(offset, size);
}

void memory_chunks::remove(const digest& version) {
    contents_.erase(version);
}

// ---- file_chunks -----------------------------------------------------------

file_chunks::file_chunks(std::string folder) : folder_(std::move(folder)) {}

file_chunks::~file_chunks() {
    for (const auto& [version, descriptor] : descriptors_) {
        close(descriptor);
        unlink(path_of(version).c_str());
    }
}

file_chunks::file_chunks(file_chunks&& other) noexcept
    : folder_(std::move(other.folder_)),
      descriptors_(std::exchange(other.descriptors_, {})) {}

std::string file_chunks::path_of(const digest& version) const {
    return folder_ + "/" + version;
}

leaf::result<void> file_chunks::open(const digest& version,
                                     std::uint64_t bytes) {
    const int descriptor =
        ::open(path_of(version).c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC,
               owner_only);
    if (descriptor < 0)
        return system_failure("chunk_store.open", version);
    descriptors_[version] = descriptor;
    if (ftruncate(descriptor, static_cast<off_t>(bytes)) != 0) {
        const auto failure = system_failure("chunk_store.open", version);
        remove(version);
        return failure;
    }
    return {};
}

leaf::result<void> file_chunks::write(const digest& version,
                                      std::uint64_t offset,
                                      const std::string& data) {
    const int descriptor = descriptors_.at(version);
    std::size_t done = 0;
    while (done < data.size()) {
        const auto count =
            pwrite(descriptor, data.data() + done, data.size() - done,
                   static_cast<off_t>(offset + done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return system_failure("chunk_store.write", version);
        done += static_cast<std::size_t>(count);
    }
    return {};
}

leaf::result<std::string> file_chunks::read(const digest& version,
                                            std::uint64_t offset,
                                            std::size_t size) const {
    const int descriptor = descriptors_.at(version);
    std::string data(size, '\0');
    std::size_t done = 0;
    while (done < size) {
        const auto count = pread(descriptor, data.data() + done, size - done,
                                 static_cast<off_t>(offset + done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return system_failure("chunk_store.read", version);
        done += static_cast<std::size_t>(count);
    }
    return data;
}

void file_chunks::remove(const digest& version) {
    const auto found = descriptors_.find(version);
    if (found == descriptors_.end())
        return;
    close(found->second);
    unlink(path_of(version).c_str());
    descriptors_.erase(found);
}

// ---- chunk_store -----------------------------------------------------------

chunk_store::chunk_store(chunk_backend backend)
    : backend_(std::move(backend)) {}

bool chunk_store::contains(const digest& version) const {
    const absl::ReaderMutexLock lock(&mutex_);
    return versions_.contains(version);
}

bool chunk_store::has(const digest& version, std::uint32_t index) const {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = versions_.find(version);
    return found != versions_.end() && found->second.stored.test(index);
}

chunk_bitmap chunk_store::bitmap(const digest& version) const {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = versions_.find(version);
    return found == versions_.end() ? chunk_bitmap() : found->second.stored;
}

bool chunk_store::complete(const digest& version) const {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = versions_.find(version);
    return found != versions_.end() && found->second.stored.is_full();
}

leaf::result<std::string>
chunk_store::manifest_text(const digest& version) const {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = versions_.find(version);
    if (found == versions_.end())
        return missing("chunk_store.manifest_text", version);
    return to_json_text(found->second.description);
}

leaf::result<std::string> chunk_store::read(const digest& version,
                                            std::uint32_t index) const {
    const absl::ReaderMutexLock lock(&mutex_);
    const auto found = versions_.find(version);
    if (found == versions_.end() || !found->second.stored.test(index))
        return missing("chunk_store.read", version);
    const manifest& description = found->second.description;
    const std::uint64_t offset = std::uint64_t{index} * description.chunk_bytes;
    return std::visit(
        [&](const auto& backend) {
            return backend.read(version, offset, description.chunk_size(index));
        },
        backend_);
}

leaf::result<void> chunk_store::add(const digest& version,
                                    const manifest& description) {
    const absl::MutexLock lock(&mutex_);
    if (versions_.contains(version))
        return {};
    BOOST_LEAF_CHECK(std::visit(
        [&](auto& backend) {
            return backend.open(version, description.total_bytes);
        },
        backend_));
    const auto chunks = static_cast<std::uint32_t>(description.chunks.size());
    versions_.emplace(version,
                      version_record{description, chunk_bitmap(chunks)});
    return {};
}

leaf::result<void> chunk_store::put(const digest& version, std::uint32_t index,
                                    const std::string& data) {
    const digest actual = sha256(data);
    const absl::MutexLock lock(&mutex_);
    const auto found = versions_.find(version);
    if (found == versions_.end() ||
        index >= found->second.description.chunks.size())
        return missing("chunk_store.put", version);
    version_record& record = found->second;
    if (record.description.chunks[index] != actual ||
        record.description.chunk_size(index) != data.size())
        return fail(error_code::malformed, "chunk_store.put", "",
                    "chunk " + std::to_string(index) +
                        " does not match the digest or size in the manifest");
    if (record.stored.test(index))
        return {};
    const std::uint64_t offset =
        std::uint64_t{index} * record.description.chunk_bytes;
    BOOST_LEAF_CHECK(std::visit(
        [&](auto& backend) { return backend.write(version, offset, data); },
        backend_));
    record.stored.set(index);
    return {};
}

void chunk_store::drop(const digest& version) {
    const absl::MutexLock lock(&mutex_);
    if (versions_.erase(version) == 0)
        return;
    std::visit([&](auto& backend) { backend.remove(version); }, backend_);
}

} // namespace ospreystage

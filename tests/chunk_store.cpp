#include <ospreystage/weights/chunk_store.hpp>

#include <catch2/catch.hpp>
#include <unistd.h>

#include <cstdlib>

using namespace ospreystage;

namespace {

constexpr std::uint32_t chunk_bytes = 1000;

std::string sample_bytes() {
    std::string bytes;
    for (int index = 0; index < 2500; ++index)
        bytes.push_back(static_cast<char>('a' + index % 23));
    return bytes;
}

bool succeeds(const leaf::result<void>& result) {
    return static_cast<bool>(result);
}

error_code code_of(chunk_store& store, const digest& version,
                   std::uint32_t index, const std::string& data) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<error_code> {
            BOOST_LEAF_CHECK(store.put(version, index, data));
            return error_code::conflict;
        },
        [](const error& failure) { return failure.code; },
        [] { return error_code::conflict; });
}

std::string temporary_folder() {
    std::string name = "/tmp/chunk_store.XXXXXX";
    REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
}

void check_store(chunk_backend backend) {
    chunk_store store(std::move(backend));
    const std::string bytes = sample_bytes();
    const manifest description = make_manifest(bytes, chunk_bytes);
    const digest version = version_of(description);
    REQUIRE(succeeds(store.add(version, description)));
    CHECK(code_of(store, version, 0, std::string(chunk_bytes, 'x')) ==
          error_code::malformed);
    CHECK_FALSE(store.has(version, 0));
    CHECK_FALSE(store.read(version, 0));
    CHECK(code_of(store, version, 7, "x") == error_code::not_found);
    for (std::uint32_t index = 0; index < 3; ++index) {
        CHECK_FALSE(store.complete(version));
        REQUIRE(succeeds(store.put(
            version, index, bytes.substr(index * chunk_bytes, chunk_bytes))));
    }
    CHECK(store.complete(version));
    CHECK(store.bitmap(version).count() == 3);
    CHECK(store.read(version, 2).value() == bytes.substr(2000));
    CHECK(sha256(store.manifest_text(version).value()) == version);
    store.drop(version);
    CHECK_FALSE(store.contains(version));
    CHECK_FALSE(store.read(version, 0));
}

} // namespace

TEST_CASE("chunk_store - memory returns checked chunks only") {
    check_store(memory_chunks{});
}

TEST_CASE("chunk_store - files return checked chunks only") {
    const std::string folder = temporary_folder();
    check_store(file_chunks(folder));
    CHECK(rmdir(folder.c_str()) == 0);
}

TEST_CASE("chunk_store - a dropped version leaves no file") {
    const std::string folder = temporary_folder();
    chunk_store store{chunk_backend(file_chunks(folder))};
    const manifest description = make_manifest(sample_bytes(), chunk_bytes);
    const digest version = version_of(description);
    REQUIRE(succeeds(store.add(version, description)));
    CHECK(access((folder + "/" + version).c_str(), F_OK) == 0);
    store.drop(version);
    CHECK(access((folder + "/" + version).c_str(), F_OK) != 0);
    CHECK(rmdir(folder.c_str()) == 0);
}

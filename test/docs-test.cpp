#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace agatespread {

namespace {

std::string read_file(const std::filesystem::path& file)
{
    std::ifstream stream(file);
    return std::string((std::istreambuf_iterator<char>(stream)), {});
}

std::set<std::string> matches_of(const std::string& text, const std::regex& pattern)
{
    std::set<std::string> names;
    for (std::sregex_iterator found(text.begin(), text.end(), pattern), end; found != end;
         ++found) {
        names.insert((*found)[1].str());
    }
    return names;
}

/// Returns the series names in the string literals of the sources.
std::set<std::string> registered_series()
{
    const std::regex literal("\"(?:# TYPE )?(agatespread_[a-z_]+)");
    std::set<std::string> names;
    for (const std::filesystem::directory_entry& entry :
         std::filesystem::directory_iterator(std::string(AGATESPREAD_SOURCE_DIR) + "/src")) {
        names.merge(matches_of(read_file(entry.path()), literal));
    }
    return names;
}

// The rest of a series name that ends in an underscore is appended at run time.
bool is_prefix(const std::string& name)
{
    return name.back() == '_';
}

std::set<std::string> documented_series()
{
    const std::string page = read_file(std::string(AGATESPREAD_SOURCE_DIR) + "/docs/metrics.md");
    return matches_of(page, std::regex("`(agatespread_[a-z_]+)`"));
}

bool is_registered(const std::string& name, const std::set<std::string>& registered)
{
    for (const std::string& known : registered) {
        if (name == known || (is_prefix(known) && name.rfind(known, 0) == 0)) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a series that a node exports and docs/metrics.md does not document.
TEST(docs, the_metrics_page_names_every_registered_series)
{
    const std::set<std::string> documented = documented_series();
    const std::set<std::string> registered = registered_series();
    ASSERT_GE(registered.size(), 50U) << "the sources were not read";
    for (const std::string& name : registered) {
        const auto found = documented.lower_bound(name);
        const bool prefix_documented = found != documented.end() && found->rfind(name, 0) == 0;
        EXPECT_TRUE(is_prefix(name) ? prefix_documented : documented.count(name) == 1) << name;
    }
}

// Guards against alerts on a series that docs/metrics.md lists but no node exports any more.
TEST(docs, the_metrics_page_names_no_series_that_is_not_registered)
{
    const std::set<std::string> registered = registered_series();
    for (const std::string& name : documented_series()) {
        EXPECT_TRUE(is_registered(name, registered)) << name;
    }
}

} // namespace agatespread

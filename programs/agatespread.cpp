#include <agatespread/command_line.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

int main(int argc, char** argv)
{
    std::random_device device;
    const agatespread::command_environment environment{
        std::cout,
        std::cerr,
        agatespread::curl_transport(),
        [] { return std::chrono::system_clock::now(); },
        [&device] { return (static_cast<std::uint64_t>(device()) << 32U) | device(); },
        [](const std::string& name) {
            const char* value = std::getenv(name.c_str());
            return std::string(value == nullptr ? "" : value);
        },
        [] { return std::chrono::steady_clock::now(); },
        [](std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }};
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(agatespread::run_command_line(arguments, environment));
}

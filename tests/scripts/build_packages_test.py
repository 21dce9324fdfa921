#!/usr/bin/env python3
"""Tests of scripts/build-packages over small projects.

Guards against a build that passes on a developer's machine and fails on a clean one, because it
uses a package that happens to be installed and isn't listed. Needs the packages of .ci/packages.
"""

import os
import subprocess
import sys
import tempfile
import unittest

SCRIPT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts", "build-packages")
TOOLS = ["cmake", "g++", "ninja-build"]
PROJECT = "cmake_minimum_required(VERSION 3.25)\nproject(sample CXX)\n"
PROGRAM = "add_executable(sample main.cc)\n"


class build_packages_test(unittest.TestCase):
    def check(self, cmake, packages, source="int main() {}\n", arguments=()):
        """Runs the script on a project; returns its exit status and what it printed."""
        with tempfile.TemporaryDirectory() as folder:
            files = {
                "CMakeLists.txt": PROJECT + cmake,
                "main.cc": source,
                "deploy/system.toml": 'build = "cmake -S . -B target -G Ninja && cmake --build target"\n'
                                      f"packages = {packages}\n".replace("'", '"'),
            }
            for name, text in files.items():
                path = os.path.join(folder, name)
                os.makedirs(os.path.dirname(path), exist_ok=True)
                with open(path, "w") as file:
                    file.write(text)
            subprocess.run(["git", "init", "-q", folder], check=True)
            result = subprocess.run([sys.executable, SCRIPT, "--source", folder, *arguments],
                                    capture_output=True, text=True)
        return result.returncode, result.stdout + result.stderr

    def assert_needs(self, package, path, cmake, source="int main() {}\n", also=()):
        """The project is refused without the package, naming it and the file, and passes with it."""
        listed = TOOLS + list(also)
        status, output = self.check(cmake, listed, source)
        self.assertEqual(status, 1, output)
        self.assertRegex(output, f"not listed: {path}.*of package.*{package}")
        status, output = self.check(cmake, listed + [package], source)
        self.assertEqual(status, 0, output)

    def test_build_with_listed_tools_passes(self):
        status, output = self.check(PROGRAM, TOOLS)
        self.assertEqual(status, 0, output)

    def test_missing_compiler_package_is_found(self):
        status, output = self.check(PROGRAM, ["cmake", "ninja-build"])
        self.assertEqual(status, 1, output)
        for part in ("cc1plus", "/ld", "crti.o"):
            self.assertRegex(output, f"not listed: .*{part}")

    def test_file_that_cmake_only_tests_for_existence(self):
        # The incident: an imported target of gRPC names its code generator.
        self.assert_needs("protobuf-compiler-grpc", "/usr/bin/grpc_cpp_plugin", PROGRAM + """
set(plugin "/usr/bin/grpc_cpp_plugin")
foreach(file ${plugin})
    if(NOT EXISTS "${file}")
        message(FATAL_ERROR "${file} does not exist")
    endif()
endforeach()
""")

    def test_header_only_use(self):
        self.assert_needs("libfmt-dev", "/usr/include/fmt/core.h",
                          PROGRAM + "target_compile_definitions(sample PRIVATE FMT_HEADER_ONLY)\n",
                          "#include <fmt/core.h>\nint main() { fmt::print(\"x\"); }\n")

    def test_library_without_header(self):
        self.assert_needs("libgflags-dev", ".*libgflags", PROGRAM + "target_link_libraries(sample PRIVATE gflags)\n",
                          "int main() {}\n")

    def test_link_to_a_library_that_another_package_brings(self):
        # cmake brings libz.so.1, but the name that the linker looks for comes with zlib1g-dev.
        self.assert_needs("zlib1g-dev", ".*/libz.so ", PROGRAM + "target_link_libraries(sample PRIVATE z)\n")

    def test_tool_of_a_custom_command(self):
        status, output = self.check(PROGRAM + "add_custom_target(version ALL COMMAND /usr/bin/pkg-config --version)\n",
                                    TOOLS)
        self.assertEqual(status, 1, output)
        self.assertRegex(output, "not listed: /usr/bin/pkg-config .tool")

    def test_optional_program_that_is_found(self):
        self.assert_needs("ccache", "/usr/bin/ccache", PROGRAM + "find_program(CCACHE_PROGRAM ccache)\n")

    def test_pkg_config_module(self):
        self.assert_needs("libcppunit-dev", ".*/cppunit.pc", PROGRAM + """
find_package(PkgConfig REQUIRED)
pkg_check_modules(CPPUNIT REQUIRED cppunit)
""", also=["pkg-config"])

    def test_list_that_should_be_refused(self):
        arguments = ["--also-red", "cmake,ninja-build"]
        status, output = self.check(PROGRAM, TOOLS, arguments=arguments)
        self.assertEqual(status, 0, output)
        status, output = self.check(PROGRAM, TOOLS, arguments=["--also-red", ",".join(TOOLS)])
        self.assertEqual(status, 1, output)
        self.assertIn("should be refused and is not", output)

    def test_build_that_fails_is_an_error(self):
        status, output = self.check('message(FATAL_ERROR "broken")\n', TOOLS)
        self.assertEqual(status, 2, output)
        self.assertIn("broken", output)

    def test_listed_package_that_is_not_installed_is_an_error(self):
        status, output = self.check(PROGRAM, TOOLS + ["no-such-package"])
        self.assertEqual(status, 2, output)
        self.assertIn("no-such-package", output)


if __name__ == "__main__":
    unittest.main(verbosity=2)

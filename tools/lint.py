"""Runs clang-tidy on files in parallel and caches clean results.

A result is keyed by the text of the file, of all the headers of the project
and of the linter's settings, so a clean file is checked again only after one
of these has changed.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import subprocess
import sys

CACHE = pathlib.Path(
    os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")
) / "nutmegloom-lint"
INCLUDE = re.compile(rb'^\s*#include "([^"]+)"', re.M)


def project_headers(path, seen):
    """Adds to seen the headers of the project that path includes."""
    for name in INCLUDE.findall(path.read_bytes()):
        name = name.decode()
        for root in (pathlib.Path("packages"), pathlib.Path("."), path.parent):
            header = root / name
            if header.is_file() and header not in seen:
                seen.add(header)
                project_headers(header, seen)
    return seen


def cache_key(path):
    digest = hashlib.sha256(pathlib.Path(".clang-tidy").read_bytes())
    for part in [path, *sorted(project_headers(path, set()))]:
        digest.update(part.read_bytes())
    return digest.hexdigest()


def lint(build, path):
    marker = CACHE / cache_key(path)
    if marker.exists():
        return path, True, ""
    done = subprocess.run(
        ["clang-tidy", "--quiet", "-p", build, str(path)],
        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    if done.returncode == 0:
        marker.touch()
    return path, done.returncode == 0, done.stdout


def main():
    build, jobs, names = sys.argv[1], int(sys.argv[2]), sys.argv[3:]
    CACHE.mkdir(parents=True, exist_ok=True)
    database = json.loads(
        (pathlib.Path(build) / "compile_commands.json").read_text())
    known = {os.path.relpath(entry["file"]) for entry in database}
    paths = [pathlib.Path(name) for name in names if name in known]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for count, (path, clean, output) in enumerate(
                pool.map(lambda path: lint(build, path), paths), 1):
            if not clean:
                failed += 1
                print(output, flush=True)
            if count % 10 == 0 or count == len(paths):
                print(f"lint: {count}/{len(paths)} files", flush=True)
    return 1 if failed else 0


sys.exit(main())

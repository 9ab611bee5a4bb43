"""Generate the peer protocol code and reference pages, or check that they are up to date."""

import argparse
import pathlib
import sys
import tempfile

import grpc_tools
from generate_docs import generated_pages
from grpc_tools import protoc

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = "whinrack/peers/_pb"
NAMES = ("peer_pb2.py", "peer_grpc.py")


def generate(output: pathlib.Path) -> None:
    """Run protoc and write the generated files below `output`.

    Raises SystemExit if protoc fails.
    """
    include = pathlib.Path(grpc_tools.__file__).parent / "_proto"
    plugin = pathlib.Path(sys.executable).parent / "protoc-gen-grpclib_python"
    code = protoc.main(
        [
            "protoc",
            f"-I{ROOT}",
            f"-I{include}",
            f"--plugin=protoc-gen-grpclib_python={plugin}",
            f"--python_out={output}",
            f"--grpclib_python_out={output}",
            str(ROOT / PACKAGE / "peer.proto"),
        ]
    )
    if code != 0:
        raise SystemExit(f"protoc failed with exit code {code}")


def main() -> int:
    """Generate in place, or compare the committed files with new output (`--check`)."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    if not parser.parse_args().check:
        generate(ROOT)
        for path, text in generated_pages().items():
            (ROOT / path).write_text(text)
        return 0
    with tempfile.TemporaryDirectory() as folder:
        generate(pathlib.Path(folder))
        stale = [
            name
            for name in NAMES
            if (pathlib.Path(folder) / PACKAGE / name).read_bytes()
            != (ROOT / PACKAGE / name).read_bytes()
        ]
    stale += [
        str(path)
        for path, text in generated_pages().items()
        if not (ROOT / path).exists() or (ROOT / path).read_text() != text
    ]
    if stale:
        print("generated code is out of date, run `make generate`:", ", ".join(stale))
        return 1
    print("generated code is up to date")
    return 0


if __name__ == "__main__":
    sys.exit(main())

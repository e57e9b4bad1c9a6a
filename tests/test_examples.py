"""Guards against example documents and settings that the programs refuse."""

import importlib.util
import pathlib

import pytest

from filbertreach.changes import check_changes
from filbertreach.ctl._records import now_utc
from filbertreach.document import digest_document, parse_document
from filbertreach.settings import load, load_text

_ROOT = pathlib.Path(__file__).parent.parent
_SPECIFICATION = importlib.util.spec_from_file_location(
    "make_examples", _ROOT / "tools" / "make_examples.py"
)
make_examples = importlib.util.module_from_spec(_SPECIFICATION)
_SPECIFICATION.loader.exec_module(make_examples)


@pytest.mark.parametrize(
    ("deployment", "hosts", "leaves"), [("aquecer", 8, 106), ("consortium", 7, 108)]
)
def test_documents_and_settings_are_valid(deployment, hosts, leaves):
    folder = _ROOT / "examples" / deployment
    found = {}
    for kind in ("trial", "production"):
        text = (folder / f"{kind}.ini").read_text(encoding="utf-8")
        assert text == make_examples.documents()[folder / f"{kind}.ini"]
        found[kind] = parse_document(text=text, source=kind).unwrap()
        assert check_changes(found[kind], now_utc()) == {}
    assert digest_document(found["trial"]) == digest_document(found["production"])
    assert (found["trial"].trial, found["production"].trial) == ("", found["trial"].name)
    services = found["trial"].services_by_name.values()
    assert sum(len(service.leaf_by_id) for service in services) == leaves
    assert load(folder / "ctl.ini", "ctl").unwrap()["ctl"]["operator"] == "ana"
    settings = {
        name: text
        for name, text in make_examples.host_settings().items()
        if name.startswith(deployment)
    }
    assert len(settings) == 3 * hosts
    for name, text in settings.items():
        load_text(text=text, source=name, schema_name="settings").unwrap()


def test_a_workshop_reads_only_its_own_order_book():
    text = (_ROOT / "examples" / "consortium" / "production.ini").read_text(encoding="utf-8")
    environment = parse_document(text=text).unwrap()
    workshops = [name for name in environment.clients_by_name if name != "consortium"]
    for application in environment.applications_by_name.values():
        for book in workshops:
            if application.may_query_shard(f"orders-{book}"):
                assert [name for name in workshops if application.may_query_for(name)] == [book]
                assert application.token_sha256

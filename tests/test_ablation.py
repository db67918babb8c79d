"""`tools.ablation` still finds each mechanism in the sources that it can remove."""

import ast
import unittest

from tools.ablation import ABLATIONS, GATEWAY_DIR, ROOT


class AblationTest(unittest.TestCase):
    def test_each_mechanism_is_found_once_and_its_removal_leaves_valid_source(self) -> None:
        for ablation in ABLATIONS:
            with self.subTest(name=ablation.name):
                text = (ROOT / GATEWAY_DIR / ablation.file).read_text("utf-8")
                changed = ablation.remove_from(text)
                self.assertNotEqual(changed, text)
                ast.parse(changed)

    def test_missing_text_is_an_error(self) -> None:
        with self.assertRaises(ValueError):
            ABLATIONS[0].remove_from("nothing of it")


if __name__ == "__main__":
    unittest.main()

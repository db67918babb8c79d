"""Each mechanism that can be taken out still stands where the tool looks for it."""

import ast
import unittest

from tools.ablation import ABLATIONS, GATEWAY_DIR, ROOT


class AblationTest(unittest.TestCase):
    def test_each_mechanism_stands_once_and_leaves_valid_source(self) -> None:
        for ablation in ABLATIONS:
            with self.subTest(name=ablation.name):
                text = (ROOT / GATEWAY_DIR / ablation.file).read_text("utf-8")
                changed = ablation.remove_from(text)
                self.assertNotEqual(changed, text)
                ast.parse(changed)

    def test_a_text_that_is_gone_is_told(self) -> None:
        with self.assertRaises(ValueError):
            ABLATIONS[0].remove_from("nothing of it")


if __name__ == "__main__":
    unittest.main()
